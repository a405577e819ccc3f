/** Collects the rates of the rounds of an experiment. */
export class RateRounds {
    private readonly rates: number[] = [];

    add(ratePerS: number): void {
        this.rates.push(ratePerS);
    }

    get meanPerS(): number {
        return this.rates.reduce((total, rate) => total + rate, 0) / Math.max(1, this.rates.length);
    }

    summary(): { meanPerS: number; roundsPerS: number[]; } {
        return { meanPerS: this.meanPerS, roundsPerS: [...this.rates] };
    }
}
