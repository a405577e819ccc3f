import type { ResponseHead } from "@knapweedwood/fleet.upstreams/responseHead";

/** Passes an upstream's answer on to the caller. */
export interface ResponseWriter {
    /** Whether the caller has got a part of the answer. */
    readonly hasStarted: boolean;
    readonly statusCode: number;
    /** Id of the last event that the caller got; undefined where a new run begins from the start. */
    readonly lastEventId: number | undefined;
    onHead(head: ResponseHead, isStopping: () => boolean): void;
    /** @returns false where the caller reads too slowly; it emits `drain` when it has caught up */
    onData(chunk: Buffer): boolean;
    /** Whether what has come is a whole answer, now that the upstream has ended it. */
    isComplete(): boolean;
    end(): void;
    /** Prepares for the answer of another attempt. */
    restart(): void;
}
