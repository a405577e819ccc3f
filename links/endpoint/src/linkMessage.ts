import type { PeerIdentity } from "@knapweedwood/links.calls/peerIdentity";
import type { ErrorRecord } from "./errorRecord.js";

/** First message of a connection, from the end that opened it. */
interface Hello {
    type: "hello";
    version: number;
    /** Oldest version of the protocol that this end still speaks. */
    oldestVersion: number;
    identity: PeerIdentity;
    sessionId: string;
    /** Number of the last session message that has arrived at this end. */
    received: number;
    maxMessageBytes: number;
}

/** Answers {@link Hello}. */
interface Welcome {
    type: "welcome";
    version: number;
    identity: PeerIdentity;
    /** Whether this end still holds the session; if not, the session starts afresh. */
    resumed: boolean;
    received: number;
    maxMessageBytes: number;
}

/** Answers {@link Hello} where no session can be had. */
interface Refusal {
    type: "refusal";
    error: ErrorRecord;
}

interface Ping {
    type: "ping";
    sequence: number;
    /** When the next ping is due, in milliseconds. */
    intervalMs: number;
    received: number;
}

interface Pong {
    type: "pong";
    sequence: number;
    received: number;
}

/** Acknowledges all session messages up to `received`. */
interface Acknowledgement {
    type: "acknowledgement";
    received: number;
}

/** Ends a session on purpose. */
interface Goodbye {
    type: "goodbye";
}

interface Notification {
    type: "notification";
    name: string;
    payload: unknown;
}

interface Request {
    type: "request";
    number: number;
    callId: number;
    name: string;
    payload: unknown;
    /** How many bytes of frames may be sent before more credit is given. */
    creditBytes: number;
    timeoutMs: number | undefined;
    traceParent: string | undefined;
}

interface Cancel {
    type: "cancel";
    number: number;
    callId: number;
}

/** Raises the count of bytes of frames that may be sent for a call since its start. */
interface Credit {
    type: "credit";
    number: number;
    callId: number;
    creditBytes: number;
}

interface Frame {
    type: "frame";
    number: number;
    callId: number;
    /** Index of the frame in its call, from 0. */
    frameIndex: number;
    payload: unknown;
}

interface End {
    type: "end";
    number: number;
    callId: number;
    frameCount: number;
}

interface Failure {
    type: "failure";
    number: number;
    callId: number;
    error: ErrorRecord;
}

/** A message between the two ends of a link. Those with a `number` belong to a session and survive its connection. */
export type LinkMessage =
    | Hello
    | Welcome
    | Refusal
    | Ping
    | Pong
    | Acknowledgement
    | Goodbye
    | Notification
    | Request
    | Cancel
    | Credit
    | Frame
    | End
    | Failure;
