/** Maximum number of comparisons and operations together in a transaction of the key-value service. */
export const MAX_TRANSACTION_ENTRIES = 32;
