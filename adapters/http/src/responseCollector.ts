import type { Dispatcher } from "undici";
import type { HttpAnswer } from "./httpResponse.js";

/** Collects one answer, and notes whether the call had begun to be sent. */
export class CallCollector implements Dispatcher.DispatchHandler {
    /** Whether any part of the call may have reached the other end. */
    begun = false;
    readonly answer: Promise<HttpAnswer>;
    private controller: Dispatcher.DispatchController | undefined;
    private abortReason: Error | undefined;
    private statusCode = 0;
    private readonly chunks: Buffer[] = [];
    private resolve: (answer: HttpAnswer) => void = () => undefined;
    private reject: (error: Error) => void = () => undefined;

    constructor() {
        this.answer = new Promise((resolve, reject) => {
            this.resolve = resolve;
            this.reject = reject;
        });
    }

    /** Gives up on the answer and drops the connection that the call was sent on. */
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
        this.begun = true;
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
