import type { EngineTotals } from "@knapweedwood/standins.engine/engineTotals";

/** The sum of the totals of several engines, times `factors`. */
export function sumTotals(totals: EngineTotals[], factors: number[] = totals.map(() => 1)): EngineTotals {
    const fields = Object.keys(totals[0] ?? {}) as (keyof EngineTotals)[];
    return Object.fromEntries(
        fields.map(field => [
            field,
            totals.reduce((sum, total, index) => sum + total[field] * (factors[index] ?? 1), 0),
        ]),
    ) as unknown as EngineTotals;
}
