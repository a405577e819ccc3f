import type { SessionMessage } from "./sessionMessage.js";

type WithoutNumber<Message> = Message extends SessionMessage ? Omit<Message, "number"> : never;

/** A session message that has not been written yet and has no number. */
export type UnnumberedMessage = WithoutNumber<SessionMessage>;
