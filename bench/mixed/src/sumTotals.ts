import type { EngineTotals } from "@knapweedwood/standins.engine/engineTotals";

/** Sums the totals, each multiplied by its factor; factors default to 1. */
export function sumTotals(totals: EngineTotals[], factors: number[] = totals.map(() => 1)): EngineTotals {
    const fields = Object.keys(totals[0] ?? {}) as (keyof EngineTotals)[];
    return Object.fromEntries(
        fields.map(field => [
            field,
            totals.reduce((sum, total, index) => sum + total[field] * (factors[index] ?? 1), 0),
        ]),
    ) as unknown as EngineTotals;
}
