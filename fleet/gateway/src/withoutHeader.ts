import type { HeaderList } from "@knapweedwood/fleet.upstreams/headerList";

/** Returns the headers without those of one name, which is in lower case. */
export function withoutHeader(headers: HeaderList, name: string): HeaderList {
    return headers.filter((_, index) => headers[index - index % 2] !== name);
}
