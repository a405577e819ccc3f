/** A service file as it was read. */
export interface ServiceFile {
    /** Where it was found, for messages. */
    path: string;
    text: string;
}
