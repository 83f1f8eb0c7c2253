import { Encoder } from 'cbor-x';

/** CBOR codec of the links. Records are plain maps, so that any CBOR library can read them. */
export const codec = new Encoder({ useRecords: false, mapsAsObjects: true });
