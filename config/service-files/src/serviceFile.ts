/** The text of a service file. */
export interface ServiceFile {
    /** Path of the file, used in messages. */
    path: string;
    text: string;
}
