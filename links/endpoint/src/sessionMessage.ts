import type { LinkMessage } from "./linkMessage.js";

/** A message that belongs to a session. It is numbered and delivered exactly once and in order. */
export type SessionMessage = Extract<LinkMessage, { number: number; }>;
