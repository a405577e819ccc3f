import type { HeaderList } from "./headerList.js";

/** A request to one upstream. */
export interface ExchangeRequest {
    method: string;
    /** Includes the query. */
    path: string;
    headers: HeaderList;
    body: Buffer | undefined;
    /** Compared with the request id of the response; a response without one is accepted. */
    requestId: string;
}
