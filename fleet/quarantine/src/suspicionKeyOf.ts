import type { Suspicion } from "./suspicion.js";

/** Returns the key of what a suspicion is about: a service, and a part of prompts or a request. */
export function suspicionKeyOf({ service, part }: Pick<Suspicion, "service" | "part">): string {
    return `${service} ${part}`;
}
