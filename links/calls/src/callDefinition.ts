/** A typed call: one request, answered by a stream of frames. */
export interface CallDefinition<Request, Frame> {
    /** Name on the wire, such as `inference.generate`. */
    readonly name: string;
    /** Carries the types; never set. */
    readonly types?: { request: Request; frame: Frame; };
}
