import { KnapweedError } from "@knapweedwood/core.errors/knapweedError";
import { toKnapweedError } from "@knapweedwood/core.errors/toKnapweedError";
import busboy from "busboy";
import type { IncomingMessage } from "node:http";
import type { Readable } from "node:stream";

/**
 * Streams the file of a multipart upload to `store`. Rejects with `UPLOAD_INVALID` (400) or `BODY_TOO_LARGE` (413).
 *
 * @param opts.store stores the file's content; `purpose` is read only from a form field that precedes the file
 */
export function readUpload<Stored>(
    request: IncomingMessage,
    opts: {
        maxBytes: number;
        store: (file: { fileName: string; purpose: string; content: AsyncIterable<Uint8Array>; }) => Promise<Stored>;
    },
): Promise<Stored> {
    return new Promise((resolve, reject) => {
        const parser = createParser(request, opts.maxBytes);
        let purpose: string = "batch";
        let stored: Promise<Stored> | undefined;
        parser.on("field", (name, value) => {
            if (name === "purpose" && value !== undefined) {
                purpose = value;
            }
        });
        parser.on("file", (_name, content, info) => {
            stored = opts.store({
                fileName: info.filename ?? "upload",
                purpose,
                content: limitSize(content, opts.maxBytes),
            });
            stored.catch((thrown: unknown) => reject(toKnapweedError(thrown)));
        });
        parser.on("error", cause => reject(invalidUpload("The multipart form can't be parsed", cause)));
        parser.on("close", () => {
            if (stored === undefined) {
                reject(invalidUpload("The form has no file"));
                return;
            }
            stored.then(resolve, reject);
        });
        request.once("aborted", () => parser.destroy(new Error("The request was aborted")));
        request.pipe(parser);
    });
}

function createParser(request: IncomingMessage, maxBytes: number): busboy.Busboy {
    try {
        return busboy({ headers: request.headers, limits: { files: 1, fileSize: maxBytes + 1 } });
    }
    catch (cause) {
        throw invalidUpload("The request is not a multipart form with a file", cause);
    }
}

async function* limitSize(content: Readable, maxBytes: number): AsyncIterable<Uint8Array> {
    let sizeBytes = 0;
    for await (const chunk of content as AsyncIterable<Buffer>) {
        sizeBytes += chunk.length;
        if (sizeBytes > maxBytes) {
            throw new KnapweedError("BODY_TOO_LARGE", `The file is larger than ${maxBytes} bytes`, {
                statusCode: 413,
                outcome: "not-run",
            });
        }
        yield chunk;
    }
}

function invalidUpload(message: string, cause?: unknown): KnapweedError {
    return new KnapweedError("UPLOAD_INVALID", message, { statusCode: 400, outcome: "not-run", cause });
}
