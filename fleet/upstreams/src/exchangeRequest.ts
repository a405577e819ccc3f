import type { HeaderList } from "./headerList.js";

/** A request to one upstream. */
export interface ExchangeRequest {
    method: string;
    /** With the query. */
    path: string;
    headers: HeaderList;
    body: Buffer | undefined;
    /** The id that the answer has to bear, if it bears one. */
    requestId: string;
}
