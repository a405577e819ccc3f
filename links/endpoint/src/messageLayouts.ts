import type { LinkMessage } from "./linkMessage.js";

type FieldCheck = (value: unknown) => boolean;

interface MessageLayout {
    type: LinkMessage["type"];
    /** Fields in their order on the wire, where they follow the index of the layout. */
    fields: readonly (readonly [name: string, check: FieldCheck])[];
}

const isCount: FieldCheck = value => Number.isSafeInteger(value) && (value as number) >= 0;
const isString: FieldCheck = value => typeof value === "string";
const isBoolean: FieldCheck = value => typeof value === "boolean";
const isAnything: FieldCheck = () => true;
const isObject: FieldCheck = value => typeof value === "object" && value !== null && !Array.isArray(value);
const optional = (check: FieldCheck): FieldCheck => value => value === undefined || check(value);
const isDuration: FieldCheck = value => typeof value === "number" && Number.isFinite(value);
const isErrorRecord: FieldCheck = value => {
    const record = value as { code?: unknown; message?: unknown; };
    return isObject(value) && isString(record.code) && isString(record.message);
};
const isIdentity: FieldCheck = value => {
    const identity = value as { instanceId?: unknown; incarnation?: unknown; };
    return isObject(value) && isString(identity.instanceId) && isCount(identity.incarnation);
};

/**
 * Layout of each message type on the wire: a msgpack array of the layout's index and its fields. New layouts are
 * appended at the end, so that the indexes of the others stay the same.
 */
export const messageLayouts: readonly MessageLayout[] = [
    {
        type: "hello",
        fields: [
            ["version", isCount],
            ["oldestVersion", isCount],
            ["identity", isIdentity],
            ["sessionId", isString],
            ["received", isCount],
            ["maxMessageBytes", isCount],
        ],
    },
    {
        type: "welcome",
        fields: [
            ["version", isCount],
            ["identity", isIdentity],
            ["resumed", isBoolean],
            ["received", isCount],
            ["maxMessageBytes", isCount],
        ],
    },
    { type: "refusal", fields: [["error", isErrorRecord]] },
    { type: "ping", fields: [["sequence", isCount], ["intervalMs", isDuration], ["received", isCount]] },
    { type: "pong", fields: [["sequence", isCount], ["received", isCount]] },
    { type: "acknowledgement", fields: [["received", isCount]] },
    { type: "goodbye", fields: [] },
    { type: "notification", fields: [["name", isString], ["payload", isAnything]] },
    {
        type: "request",
        fields: [
            ["number", isCount],
            ["callId", isCount],
            ["name", isString],
            ["payload", isAnything],
            ["creditBytes", isCount],
            ["timeoutMs", optional(isDuration)],
            ["traceParent", optional(isString)],
        ],
    },
    { type: "cancel", fields: [["number", isCount], ["callId", isCount]] },
    { type: "credit", fields: [["number", isCount], ["callId", isCount], ["creditBytes", isCount]] },
    {
        type: "frame",
        fields: [["number", isCount], ["callId", isCount], ["frameIndex", isCount], ["payload", isAnything]],
    },
    { type: "end", fields: [["number", isCount], ["callId", isCount], ["frameCount", isCount]] },
    { type: "failure", fields: [["number", isCount], ["callId", isCount], ["error", isErrorRecord]] },
];
