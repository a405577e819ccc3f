import type { EtcdError } from "./etcdError.js";

/** One line of a streamed response. */
export interface EtcdStreamMessage<Result> {
    result?: Result;
    error?: EtcdError;
}
