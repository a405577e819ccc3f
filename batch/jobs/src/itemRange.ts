/** Range of item indexes from `first` to `last`, both inclusive. */
export interface ItemRange {
    first: number;
    last: number;
}
