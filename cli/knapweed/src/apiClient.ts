import { KnapweedError } from "@knapweedwood/core.errors/knapweedError";
import { FormData, request } from "undici";

type JsonValue = { [field: string]: unknown; };

/**
 * Calls the HTTP APIs of an entry with one API key. Rejects with the error that the entry returned, with
 * `ANSWER_UNREADABLE` if an error response is not in the expected form, or with `ENTRY_UNREACHABLE`.
 */
export class ApiClient {
    private readonly url: string;
    private readonly key: string;

    constructor(opts: { url: string; key: string; }) {
        this.url = opts.url.replace(/\/$/u, "");
        this.key = opts.key;
    }

    get(path: string): Promise<JsonValue> {
        return this.requestJson("GET", path);
    }

    post(path: string, body: object, headers: { [name: string]: string; } = {}): Promise<JsonValue> {
        return this.requestJson("POST", path, JSON.stringify(body), { "content-type": "application/json", ...headers });
    }

    delete(path: string): Promise<JsonValue> {
        return this.requestJson("DELETE", path);
    }

    /** Uploads a file for batch jobs. @returns the file object */
    upload(opts: { fileName: string; content: Blob; }): Promise<JsonValue> {
        const form = new FormData();
        form.set("purpose", "batch");
        form.set("file", opts.content, opts.fileName);
        return this.requestJson("POST", "/v1/files", form);
    }

    /** Streams the body of a response in chunks. */
    async *stream(path: string): AsyncIterable<Uint8Array> {
        const response = await this.send("GET", path);
        yield* response.body as AsyncIterable<Uint8Array>;
    }

    private async requestJson(
        method: "GET" | "POST" | "DELETE",
        path: string,
        body?: string | FormData,
        headers: { [name: string]: string; } = {},
    ): Promise<JsonValue> {
        const response = await this.send(method, path, body, headers);
        return await response.body.json() as JsonValue;
    }

    private async send(
        method: "GET" | "POST" | "DELETE",
        path: string,
        body?: string | FormData,
        headers: { [name: string]: string; } = {},
    ) {
        const response = await request(`${this.url}${path}`, {
            method,
            body,
            headers: { authorization: `Bearer ${this.key}`, ...headers },
        }).catch((cause: unknown) => {
            throw new KnapweedError("ENTRY_UNREACHABLE", `No entry responds at ${this.url}`, {
                hint: "Set --url or KNAPWEED_URL",
                cause,
            });
        });
        if (response.statusCode >= 400) {
            throw toError(response.statusCode, await response.body.text());
        }
        return response;
    }
}

function toError(statusCode: number, text: string): KnapweedError {
    const parsed = parseError(text);
    return new KnapweedError(parsed?.code ?? "ANSWER_UNREADABLE", parsed?.message ?? text, { statusCode });
}

function parseError(text: string): { code: string; message: string; } | undefined {
    try {
        return (JSON.parse(text) as { error?: { code: string; message: string; }; }).error;
    }
    catch {
        return undefined;
    }
}
