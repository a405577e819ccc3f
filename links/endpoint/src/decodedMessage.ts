import type { LinkMessage } from "./linkMessage.js";

/** A message that arrived, with its size on the wire. */
export interface DecodedMessage {
    message: LinkMessage;
    sizeBytes: number;
}
