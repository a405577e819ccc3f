import type { Dispatcher } from "undici";
import type { HttpResponse } from "./httpResponse.js";

/** Collects the response to one call, and records whether sending of the call has started. */
export class ResponseCollector implements Dispatcher.DispatchHandler {
    /** Whether any part of the call may have reached the server. */
    hasStarted = false;
    readonly response: Promise<HttpResponse>;
    private controller: Dispatcher.DispatchController | undefined;
    private abortReason: Error | undefined;
    private statusCode = 0;
    private readonly chunks: Buffer[] = [];
    private resolve: (response: HttpResponse) => void = () => undefined;
    private reject: (error: Error) => void = () => undefined;

    constructor() {
        this.response = new Promise((resolve, reject) => {
            this.resolve = resolve;
            this.reject = reject;
        });
    }

    /** Rejects `response` with `reason` and closes the connection that the call was sent on. */
    abort(reason: Error): void {
        this.abortReason = reason;
        this.controller?.abort(reason);
        this.reject(reason);
    }

    onRequestStart(controller: Dispatcher.DispatchController): void {
        if (this.abortReason !== undefined) {
            controller.abort(this.abortReason);
            return;
        }
        this.hasStarted = true;
        this.controller = controller;
    }

    onResponseStart(_controller: Dispatcher.DispatchController, statusCode: number): void {
        this.statusCode = statusCode;
    }

    onResponseData(_controller: Dispatcher.DispatchController, chunk: Buffer): void {
        this.chunks.push(chunk);
    }

    onResponseEnd(): void {
        this.resolve({ statusCode: this.statusCode, body: Buffer.concat(this.chunks) });
    }

    onResponseError(_controller: Dispatcher.DispatchController, error: Error): void {
        this.reject(error);
    }
}
