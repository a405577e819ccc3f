const INITIAL_VARIANCE = 100;
/** Limits the covariance, which would otherwise grow without bound while the features stay constant. */
const MAX_TRACE = 300;

/** Recursive linear least squares over a stream of samples, with exponential forgetting of old samples. */
export class RecursiveLeastSquares {
    /** Current estimate, shape [features]. */
    readonly coefficients: number[];
    private readonly forgettingFactor: number;
    private covariance: number[][];

    /** @param opts `initial` is the initial estimate, shape [features] */
    constructor(opts: { initial: number[]; forgettingFactor: number; }) {
        this.coefficients = [...opts.initial];
        this.forgettingFactor = opts.forgettingFactor;
        this.covariance = opts.initial.map((_, row) =>
            opts.initial.map((_, column) => row === column ? INITIAL_VARIANCE : 0)
        );
    }

    /**
     * Updates the coefficients with one sample.
     *
     * @param features shape [features]
     */
    update(features: number[], target: number): void {
        const projected = this.covariance.map(row => dot(row, features));
        const scale = this.forgettingFactor + dot(features, projected);
        const gain = projected.map(value => value / scale);
        const error = target - dot(this.coefficients, features);
        gain.forEach((value, index) => {
            this.coefficients[index] = (this.coefficients[index] ?? 0) + value * error;
        });
        const reduced = this.covariance.map((row, rowIndex) =>
            row.map((value, column) => value - (gain[rowIndex] ?? 0) * (projected[column] ?? 0))
        );
        const trace = reduced.reduce((sum, row, index) => sum + (row[index] ?? 0), 0);
        const growth = trace / this.forgettingFactor > MAX_TRACE ? 1 : 1 / this.forgettingFactor;
        this.covariance = reduced.map(row => row.map(value => value * growth));
    }
}

function dot(left: number[], right: number[]): number {
    return left.reduce((sum, value, index) => sum + value * (right[index] ?? 0), 0);
}
