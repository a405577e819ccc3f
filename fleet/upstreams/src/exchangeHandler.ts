import type { AnswerHead } from "./answerHead.js";
import type { ExchangeFailure } from "./exchangeFailure.js";

/** Gets the parts of an answer, in order; `onEnd` or `onFailure` comes last, once. Nothing comes after an abort. */
export interface ExchangeHandler {
    onHead(head: AnswerHead): void;
    onData(chunk: Buffer): void;
    onEnd(): void;
    onFailure(failure: ExchangeFailure): void;
}
