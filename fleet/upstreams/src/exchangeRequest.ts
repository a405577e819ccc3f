import type { HeaderList } from "./headerList.js";

/** A request to one upstream. */
export interface ExchangeRequest {
    method: string;
    /** Includes the query. */
    path: string;
    headers: HeaderList;
    body: Buffer | undefined;
    /** Id that the response must carry if it carries a request id. */
    requestId: string;
}
