import { KnapweedError } from "@knapweedwood/core.errors/knapweedError";
import { Packr } from "msgpackr";
import type { DecodedMessage } from "./decodedMessage.js";
import type { LinkMessage } from "./linkMessage.js";
import { messageLayouts } from "./messageLayouts.js";

const indexByType = new Map(messageLayouts.map((layout, index) => [layout.type, index]));

/** Encodes link messages as msgpack and decodes them. Encoded messages may be concatenated. */
export class MessageCodec {
    private readonly packr = new Packr({ useRecords: false });

    encode(message: LinkMessage): Uint8Array {
        const index = indexByType.get(message.type)!;
        const values = message as unknown as Record<string, unknown>;
        return this.packr.pack([index, ...messageLayouts[index].fields.map(([name]) => values[name])]);
    }

    /**
     * Decodes one or more concatenated messages.
     *
     * @returns the messages in order, shape [messages]
     * @throws KnapweedError ERR_KNAPWEED_LINK_BAD_MESSAGE where the bytes are not messages of this protocol
     */
    decode(bytes: Uint8Array): DecodedMessage[] {
        const messages: DecodedMessage[] = [];
        try {
            this.packr.unpackMultiple(bytes, (value: unknown, start?: number, end?: number) => {
                messages.push({ message: toMessage(value), sizeBytes: (end ?? 0) - (start ?? 0) });
            });
        }
        catch (error) {
            throw error instanceof KnapweedError
                ? error
                : badMessage("The received bytes are not valid msgpack", error);
        }
        return messages;
    }
}

function toMessage(value: unknown): LinkMessage {
    if (!Array.isArray(value)) {
        throw badMessage("A received message is not an array");
    }
    const layout = messageLayouts[value[0] as number];
    if (layout === undefined) {
        throw badMessage("A received message has an unknown type");
    }
    const invalidField = layout.fields.find(([, check], index) => !check(value[index + 1]));
    if (invalidField !== undefined) {
        throw badMessage(`Field ${invalidField[0]} of message ${layout.type} is invalid`);
    }
    const message: Record<string, unknown> = { type: layout.type };
    layout.fields.forEach(([name], index) => {
        message[name] = value[index + 1];
    });
    return message as unknown as LinkMessage;
}

function badMessage(message: string, cause?: unknown): KnapweedError {
    return new KnapweedError("LINK_BAD_MESSAGE", message, { outcome: "unknown", cause });
}
