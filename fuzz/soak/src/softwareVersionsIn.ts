/** Returns the software versions of the upstreams that wrote the events of a text, shape [versions]. */
export function softwareVersionsIn(text: string): string[] {
    return [...new Set([...text.matchAll(/@(v\d+)$/gmu)].map(match => match[1]!))];
}
