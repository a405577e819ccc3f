/** One header field of an HTTP message. */
export interface HeaderField {
    name: string;
    value: string;
}
