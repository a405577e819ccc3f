import type { CallDefinition } from "./callDefinition.js";

/** Defines a typed call between processes. */
export function defineCall<Request, Frame>(name: string): CallDefinition<Request, Frame> {
    return { name };
}
