import type { ExchangeFailure } from "./exchangeFailure.js";
import type { ResponseHead } from "./responseHead.js";

/** Gets the parts of an answer, in order; `onEnd` or `onFailure` comes last, once. Nothing comes after an abort. */
export interface ExchangeHandler {
    onHead(head: ResponseHead): void;
    onData(chunk: Buffer): void;
    onEnd(): void;
    onFailure(failure: ExchangeFailure): void;
}
