const PRINTABLE = /^[!-~](?:[ -~]*[!-~])?$/u;

/**
 * Whether an id is the same at all that read it as the value of a header: printable ASCII characters, without spaces at either
 * end. There is no common encoding of others.
 */
export function isPrintableId(id: string): boolean {
    return PRINTABLE.test(id);
}
