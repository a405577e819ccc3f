import { isPrintableId } from "./isPrintableId.js";
import type { SubmittedItem } from "./submittedItem.js";

/** A field of an item that can't be sent to an upstream. */
interface InvalidField {
    /** Path of the field in the item. */
    field: string;
    problem: string;
}

/** A path in origin form (RFC 9112, section 3.2.1) of visible ASCII characters. */
const PATH = /^\/[!-~]*$/u;
/** A token (RFC 9110, section 5.6.2). */
const HEADER_NAME = /^[!#$%&'*+\-.^_`|~0-9A-Za-z]+$/u;
/** A field value (RFC 9110, section 5.5) in Latin-1. */
const HEADER_VALUE = /^[\t\x20-\x7e\x80-\xff]*$/u;
/** Bytes of the head of a request besides the path, the id and the caller's headers. */
const OTHER_HEAD_BYTES = 512;
/** Bytes of a header besides its name and value. */
const HEADER_OVERHEAD_BYTES = 4;

/**
 * Returns what keeps an item from being sent to any upstream; undefined if nothing does.
 *
 * @param opts.maxHeadBytes largest head of a request that callers may send
 */
export function invalidFieldOf(item: SubmittedItem, opts: { maxHeadBytes: number; }): InvalidField | undefined {
    if (!isPrintableId(item.id)) {
        return { field: "id", problem: "has other than printable ASCII characters" };
    }
    if (!PATH.test(item.path)) {
        return { field: "path", problem: "doesn't begin with a slash, or has other than visible ASCII characters" };
    }
    const invalidName = item.headers.find(({ name }) => !HEADER_NAME.test(name));
    if (invalidName !== undefined) {
        return { field: `headers[${JSON.stringify(invalidName.name)}]`, problem: "is no name of a header" };
    }
    const invalidValue = item.headers.find(({ value }) => !HEADER_VALUE.test(value));
    if (invalidValue !== undefined) {
        return {
            field: `headers[${JSON.stringify(invalidValue.name)}]`,
            problem: "has a character that no header can have",
        };
    }
    const headBytes = headBytesOf(item);
    return headBytes > opts.maxHeadBytes
        ? {
            field: "headers",
            problem: `make a head of ${headBytes} bytes with the path; the limit is ${opts.maxHeadBytes}`,
        }
        : undefined;
}

function headBytesOf({ id, path, headers }: SubmittedItem): number {
    const own = headers.map(({ name, value }) => name.length + value.length + HEADER_OVERHEAD_BYTES);
    return own.reduce((sum, bytes) => sum + bytes, OTHER_HEAD_BYTES + id.length + path.length);
}
