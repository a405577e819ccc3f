import { KnapweedError } from "@knapweedwood/core.errors/knapweedError";

const DURATION_PATTERN = /^(\d+)([dhms])$/u;
const UNIT_MS: { [unit: string]: number; } = { d: 86_400_000, h: 3_600_000, m: 60_000, s: 1000 };

/** Returns the milliseconds of a duration such as `24h`; undefined without one. Throws `REQUEST_INVALID` (400). */
export function parseDuration(text: string | undefined): number | undefined {
    if (text === undefined) {
        return undefined;
    }
    const [, count, unit] = DURATION_PATTERN.exec(text) ?? [];
    const unitMs = UNIT_MS[unit ?? ""];
    if (count === undefined || unitMs === undefined) {
        throw new KnapweedError("REQUEST_INVALID", "completion_window: expected a duration such as 24h", {
            statusCode: 400,
            outcome: "not-run",
            parameter: "completion_window",
        });
    }
    return Number(count) * unitMs;
}
