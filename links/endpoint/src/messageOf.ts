import type { LinkMessage } from "./linkMessage.js";

/** The link message of one type. */
export type MessageOf<Type extends LinkMessage["type"]> = Extract<LinkMessage, { type: Type; }>;
