const KIBIBYTE = 1024;

/** A number of bytes as KB or MB of 1,024. */
export function formatBytes(bytes: number): string {
    return bytes >= KIBIBYTE * KIBIBYTE
        ? `${(bytes / KIBIBYTE / KIBIBYTE).toFixed(1)} MB`
        : `${(bytes / KIBIBYTE).toFixed(1)} KB`;
}
