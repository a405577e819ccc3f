import type { CallContext } from "./callContext.js";

/**
 * Handles a call and yields the frames of its response. A thrown KnapweedError reaches the caller with its code and
 * outcome.
 */
export type CallHandler<Request, Frame> = (request: Request, context: CallContext) => AsyncIterable<Frame>;
