import type { ResponseEnding } from "@knapweedwood/fleet.upstreams/responseEnding";
import type { ResponseHead } from "@knapweedwood/fleet.upstreams/responseHead";

/** Forwards an upstream's response to the caller. */
export interface ResponseWriter {
    /** Whether a part of the response has been sent to the caller. */
    readonly hasStarted: boolean;
    /** Status of the response; 0 before its head has arrived. */
    readonly statusCode: number;
    /** Id of the last event sent to the caller; undefined if a new attempt starts from the beginning. */
    readonly lastEventId: number | undefined;
    /** Bytes of the response that have arrived and are not sent yet. */
    readonly unsentBytes: number;
    /**
     * Measure of what has arrived of the present attempt's response: complete events of a stream, otherwise bytes. It stays
     * the same while an upstream sends an event byte by byte.
     */
    readonly progress: number;
    /** Whether bytes have arrived that are no part of such a response. They aren't sent, nor is what follows them. */
    readonly hasForeignBytes: boolean;
    /** Returns whether a response with this head may go on where the present one has been broken off. */
    continues(head: ResponseHead): boolean;
    /** @param isStopping whether the response has to ask the caller to close its connection */
    onHead(head: ResponseHead, isStopping: () => boolean): void;
    /** Returns false if the caller reads too slowly; its response emits `drain` when it has caught up. */
    onData(chunk: Buffer): boolean;
    /** Returns whether more data has arrived than a response may have, so that the response can't be used. */
    isOverLimit(): boolean;
    /** Returns whether the data received is a complete response, after the upstream has ended it as `ending` says. */
    isComplete(ending: ResponseEnding): boolean;
    /** Sends the remaining data and ends the response to the caller. */
    end(): void;
    /** Prepares for the response of another attempt. */
    restart(): void;
}
