import type { HeaderList } from "./headerList.js";

/** Status and headers of an HTTP response. */
export interface ResponseHead {
    statusCode: number;
    /** Excludes hop-by-hop headers. */
    headers: HeaderList;
    /** Returns the first value of a header; undefined if it is absent. */
    header(name: string): string | undefined;
}
