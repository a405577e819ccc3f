import { createHash } from "node:crypto";

const DIGEST_CHARACTERS = 12;

/** Returns the data of all events that an upstream sends for a request body, shape [events]. */
export function expectedEvents(body: string): string[] {
    const { events = 1 } = JSON.parse(body) as { events?: number; };
    const digest = createHash("sha256").update(body).digest("hex").slice(0, DIGEST_CHARACTERS);
    return Array.from({ length: events }, (_, index) => `${digest}-${index + 1}`);
}
