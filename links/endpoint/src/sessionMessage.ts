import type { LinkMessage } from "./linkMessage.js";

/** A message that belongs to a session: numbered, delivered once and in order. */
export type SessionMessage = Extract<LinkMessage, { number: number; }>;
