import type { LinkMessage } from "./linkMessage.js";

/** The link message whose `type` is `Type`. */
export type MessageOf<Type extends LinkMessage["type"]> = Extract<LinkMessage, { type: Type; }>;
