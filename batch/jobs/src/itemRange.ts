/** Items `first` to `last`, both included. */
export interface ItemRange {
    first: number;
    last: number;
}
