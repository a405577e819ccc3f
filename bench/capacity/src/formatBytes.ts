const KIBIBYTE = 1024;

/** Formats a number of bytes as KB or MB, with 1,024 bytes to the KB. */
export function formatBytes(bytes: number): string {
    return bytes >= KIBIBYTE * KIBIBYTE
        ? `${(bytes / KIBIBYTE / KIBIBYTE).toFixed(1)} MB`
        : `${(bytes / KIBIBYTE).toFixed(1)} KB`;
}
