import type { ExchangeFailure } from "./exchangeFailure.js";
import type { ResponseEnding } from "./responseEnding.js";
import type { ResponseHead } from "./responseHead.js";

/**
 * Receives the parts of a response in order. `onEnd` or `onFailure` is called last, once. Nothing is called after an
 * abort.
 */
export interface ExchangeHandler {
    onHead(head: ResponseHead): void;
    onData(chunk: Buffer): void;
    /**
     * Called for each part from then on when the response has come in too many small parts, after `onData`. It is read slowly
     * from then on, unless it is aborted.
     */
    onTinyParts?(): void;
    onEnd(ending: ResponseEnding): void;
    onFailure(failure: ExchangeFailure): void;
}
