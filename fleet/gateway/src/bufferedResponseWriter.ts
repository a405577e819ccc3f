import { ByteCollector } from "@knapweedwood/fleet.upstreams/byteCollector";
import type { ResponseHead } from "@knapweedwood/fleet.upstreams/responseHead";
import type { ServerResponse } from "node:http";
import { maxBodyBytes } from "./maxBodyBytes.js";
import type { ResponseWriter } from "./responseWriter.js";
import { withoutHeader } from "./withoutHeader.js";

/** Buffers a response until it is complete, so that a truncated response can be replaced by another upstream's. */
export class BufferedResponseWriter implements ResponseWriter {
    readonly hasStarted = false;
    readonly lastEventId = undefined;
    readonly hasForeignBytes = false;
    private readonly response: ServerResponse;
    private head: ResponseHead | undefined;
    private isStopping: () => boolean = () => false;
    private readonly body = new ByteCollector();

    constructor(opts: { response: ServerResponse; }) {
        this.response = opts.response;
    }

    get statusCode(): number {
        return this.head?.statusCode ?? 0;
    }

    get unsentBytes(): number {
        return this.body.heldBytes;
    }

    get progress(): number {
        return this.body.sizeBytes;
    }

    onHead(head: ResponseHead, isStopping: () => boolean): void {
        this.head = head;
        this.isStopping = isStopping;
    }

    continues(): boolean {
        return true;
    }

    onData(chunk: Buffer): boolean {
        this.body.append(chunk);
        return true;
    }

    isOverLimit(): boolean {
        return this.body.sizeBytes > maxBodyBytes;
    }

    isComplete(): boolean {
        return this.head !== undefined;
    }

    end(): void {
        const head = this.head!;
        const body = this.body.toBuffer();
        const headers = withoutHeader(head.headers, "content-length");
        headers.push("content-length", String(body.length));
        if (this.isStopping()) {
            headers.push("connection", "close");
        }
        this.response.writeHead(head.statusCode, headers);
        this.response.end(body);
    }

    restart(): void {
        this.head = undefined;
        this.body.clear();
    }
}
