const DECIMAL = /^\d+(\.\d+)?$/u;

/** Parses a request rate, in requests a second; undefined unless it is a decimal number. */
export function parseRequestRate(value: string): number | undefined {
    const trimmed = value.trim();
    const rate = Number(trimmed);
    return DECIMAL.test(trimmed) && Number.isFinite(rate) ? rate : undefined;
}
