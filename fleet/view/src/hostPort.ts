/** An IPv4 address and a port. */
export interface HostPort {
    host: string;
    port: number;
}
