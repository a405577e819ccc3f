import type { PeerIdentity } from "@knapweedwood/links.calls/peerIdentity";
import type { ErrorRecord } from "./errorRecord.js";

/** First message of a connection, sent by the dialing end. */
interface Hello {
    type: "hello";
    version: number;
    /** Oldest protocol version that the sender supports. */
    oldestVersion: number;
    identity: PeerIdentity;
    sessionId: string;
    /** Number of the last session message that the sender has received. */
    received: number;
    maxMessageBytes: number;
}

/** Accepts the connection of a {@link Hello}. */
interface Welcome {
    type: "welcome";
    version: number;
    identity: PeerIdentity;
    /** Whether the accepting end still holds the session. If not, a new session starts. */
    resumed: boolean;
    received: number;
    maxMessageBytes: number;
}

/** Rejects the connection of a {@link Hello}. */
interface Refusal {
    type: "refusal";
    error: ErrorRecord;
}

interface Ping {
    type: "ping";
    sequence: number;
    /** Time within which the next ping is due, in milliseconds. */
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

/** Ends a session deliberately. */
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
    /** Bytes of frames that may be sent before more credit is granted. */
    creditBytes: number;
    timeoutMs: number | undefined;
    traceParent: string | undefined;
}

interface Cancel {
    type: "cancel";
    number: number;
    callId: number;
}

/** Raises the total number of frame bytes that may be sent for a call since its start. */
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

/**
 * A message between the two ends of a link. Messages with a `number` belong to a session and are sent again when its
 * connection is lost.
 */
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
