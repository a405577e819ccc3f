import type { HeaderList } from "./headerList.js";

/** Status and headers of an answer. */
export interface ResponseHead {
    statusCode: number;
    /** Without those that concern only the connection. */
    headers: HeaderList;
    /** The first value of a header; undefined where it is absent. */
    header(name: string): string | undefined;
}
