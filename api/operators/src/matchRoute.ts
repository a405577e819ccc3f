import type { Route } from "./route.js";

/** Returns the route for a request and the parameters of its path; undefined if no route matches. */
export function matchRoute(
    routes: readonly Route[],
    method: string,
    path: string,
): { route: Route; parameters: Map<string, string>; } | undefined {
    const segments = path.split("/");
    const route = routes.find(candidate => candidate.method === method && isMatch(candidate.path.split("/"), segments));
    if (route === undefined) {
        return undefined;
    }
    const parameters = route.path
        .split("/")
        .flatMap((part, index): [string, string][] =>
            part.startsWith(":") ? [[part.slice(1), decode(segments[index] ?? "")]] : []
        );
    return { route, parameters: new Map(parameters) };
}

function isMatch(pattern: string[], segments: string[]): boolean {
    return pattern.length === segments.length
        && pattern.every((part, index) => part.startsWith(":") ? segments[index] !== "" : part === segments[index]);
}

function decode(segment: string): string {
    try {
        return decodeURIComponent(segment);
    }
    catch {
        return segment;
    }
}
