import type { CallContext } from "./callContext.js";

/** Answers a call with a stream of frames. A thrown KnapweedError reaches the caller with its code and outcome. */
export type CallHandler<Request, Frame> = (request: Request, context: CallContext) => AsyncIterable<Frame>;
