import type { LinkMessage } from "./linkMessage.js";

/** A received message with its size on the wire, in bytes. */
export interface DecodedMessage {
    message: LinkMessage;
    sizeBytes: number;
}
