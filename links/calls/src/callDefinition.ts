/** Definition of a typed call: one request and a stream of frames as its response. */
export interface CallDefinition<Request, Frame> {
    /** Name on the wire, such as `inference.generate`. */
    readonly name: string;
    /** Carries the types; never set at run time. */
    readonly types?: { request: Request; frame: Frame; };
}
