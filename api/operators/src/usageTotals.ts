/** Usage of a team, for charge-back. */
export interface UsageTotals {
    calls: number;
    items: number;
    promptTokens: number;
    completionTokens: number;
}
